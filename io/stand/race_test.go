//go:build race

package stand_test

const raceEnabled = true
