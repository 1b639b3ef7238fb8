package fakes

import (
	"encoding/xml"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// ObjectsOptions sets up an object store stand-in.
type ObjectsOptions struct {
	Addr        string // of the service; AnyPort when empty
	ControlAddr string // of the control page; AnyPort when empty
}

// Objects is a stand-in for the object store. It speaks the S3 API for PutObject and GetObject, path style.
// Any bucket exists. Control page: GET and POST /control (Faults).
type Objects struct {
	faulty

	store   sync.Mutex
	objects map[string][]byte // by /bucket/key
}

// NewObjects starts an object store stand-in.
func NewObjects(o ObjectsOptions) (*Objects, error) {
	b := &Objects{objects: map[string][]byte{}}
	if err := b.listen(o.Addr, b.serve, o.ControlAddr, http.NewServeMux()); err != nil {
		return nil, err
	}
	return b, nil
}

// Names returns the paths of all objects, sorted.
func (o *Objects) Names() []string {
	o.store.Lock()
	defer o.store.Unlock()
	var l []string
	for n := range o.objects {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

const maxObject = 256 << 20

func (o *Objects) serve(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		return
	}
	if !o.admit(w, r) {
		return
	}
	if o.throttled(r.Method == http.MethodPut) {
		s3Error(w, http.StatusServiceUnavailable, "SlowDown")
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.put(w, r, b)
	case http.MethodGet:
		o.get(w, r)
	default:
		s3Error(w, http.StatusNotImplemented, "NotImplemented")
	}
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request, b []byte) {
	if strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		s3Error(w, http.StatusNotImplemented, "NotImplemented")
		return
	}
	o.delayWrite()
	o.store.Lock()
	o.objects[r.URL.Path] = b
	o.store.Unlock()
	o.count(Counts{Writes: 1})
	if !o.loseReply(w, r) {
		w.WriteHeader(http.StatusOK)
	}
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request) {
	o.count(Counts{Reads: 1})
	o.store.Lock()
	b, ok := o.objects[r.URL.Path]
	o.store.Unlock()
	if !ok {
		s3Error(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(b)
}

func s3Error(w http.ResponseWriter, status int, code string) {
	b, _ := xml.Marshal(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: code})
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
