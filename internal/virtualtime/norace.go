//go:build !race

package virtualtime

const raceDetector = false
