package choice

// UsualServers is how many servers of a large service a daemon sends to as a rule, in its own failure domain and in all
// together. A daemon of 86 sends 7 of a service's 590 requests a second: drawn from all 96 servers, it meets one again
// after 14 s, when what it knew of its load and pace is long out of date, and on a new connection. With eight it meets
// each about once a second.
const UsualServers = 4

// Subset returns which of so many servers, in an order that all daemons share, the daemon at a place among so many sends
// to as a rule. Each server is in the subsets of as many daemons as any other, give or take one, so that the daemons
// together load them evenly.
func Subset(servers, daemons, place int) []int {
	n := min(servers, UsualServers)
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
