package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// clockTick is the unit of CPU times in /proc. All current Linux systems use 100 ticks per second.
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // user and system time since the process started
	ResidentBytes int64
}

// ReadUsage returns the current usage of the process with the given ID.
func ReadUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	// The second field is the program's name in parentheses, which may contain spaces.
	f := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	const user, system, resident = 11, 12, 21
	if len(f) <= resident {
		return Usage{}, trace.BadParameter("parse /proc stat file: too few fields")
	}
	var n [3]int64
	for i, k := range []int{user, system, resident} {
		if n[i], err = strconv.ParseInt(string(f[k]), 10, 64); err != nil {
			return Usage{}, trace.Wrap(err)
		}
	}
	return Usage{CPUTime: time.Duration(n[0]+n[1]) * clockTick, ResidentBytes: n[2] * int64(os.Getpagesize())}, nil
}
