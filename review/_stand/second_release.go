package main

import (
	"net/http"
	"time"
)

const (
	evacuations  = 3
	evacuatedFor = 3 * time.Second
)

// secondRelease: upstreams send a second answer to some releases late, while one zone after the other is evacuated and taken back.
func secondRelease(w *world) ([]string, error) {
	g := &garbler{pick: func(path string, status int) bool { return path == "/release" && status == http.StatusOK }}
	if err := w.startLookups(g.spoil); err != nil {
		return nil, err
	}
	wait := w.lookups(evacuations*(garbleFor+garblePause) + 4*time.Second)
	time.Sleep(2 * time.Second)
	for i := range evacuations {
		if w.trouble {
			w.add("from now on half of the upstreams answer some releases a second time")
			g.set(true)
		}
		time.Sleep(garbleFor - evacuatedFor)
		zone := w.upstreams[i].zone
		w.add("operator evacuates %s", zone)
		if err := w.store.Put("op", "evacuate/"+zone, map[string]any{}); err != nil {
			return nil, err
		}
		time.Sleep(evacuatedFor)
		w.add("operator takes %s back", zone)
		w.store.Delete("op", "evacuate/"+zone)
		g.set(false)
		w.add("second answers end: %d of %d answers so far", g.bad, g.answers)
		time.Sleep(garblePause)
	}
	wait.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.breaches, nil
}
