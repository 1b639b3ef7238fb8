package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// clockTick is the unit of processor times in the proc file system; 100 a second on every Linux of today.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration
	Resident  int64 // bytes
}

// UsageOf reads the usage of a process.
func UsageOf(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	// The second field is the program's name in brackets and may hold blanks.
	f := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	const user, system, resident = 11, 12, 21
	if len(f) <= resident {
		return Usage{}, trace.BadParameter("process statistics are too short")
	}
	var n [3]int64
	for i, k := range []int{user, system, resident} {
		if n[i], err = strconv.ParseInt(string(f[k]), 10, 64); err != nil {
			return Usage{}, trace.Wrap(err)
		}
	}
	return Usage{Processor: time.Duration(n[0]+n[1]) * clockTick, Resident: n[2] * int64(os.Getpagesize())}, nil
}
