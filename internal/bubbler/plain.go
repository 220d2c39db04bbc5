//go:build !race

package bubbler

const raceDetector = false
