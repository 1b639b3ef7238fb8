package choice

// SubsetSize is the number of servers of a large service that a daemon normally sends to, once in its own failure
// domain and once in all. One of 86 daemons sends 7 of a service's 590 requests a second. Drawn from all 96 servers,
// it returns to a server after 14 s, with outdated load and slowdown and on a new connection. With eight servers it
// returns to each about once a second.
const SubsetSize = 4

// Subset returns the indices of the servers that the daemon at the given place normally sends to. All daemons must
// order the servers alike. The number of daemons per server deviates by at most one from the mean,
// so that the daemons together load the servers evenly.
func Subset(servers, daemons, place int) []int {
	n := min(servers, SubsetSize)
	l := make([]int, 0, n)
	if n == 0 || daemons == 0 {
		return l
	}
	first := place * servers / daemons
	for k := range n {
		l = append(l, (first+k)%servers)
	}
	return l
}
