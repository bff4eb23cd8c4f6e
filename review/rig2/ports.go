package main

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Ports of processes lie below those that the kernel gives to connections, which could take one before its process listens.
// Each run has a range of its own, by its process ID, so that runs at the same time don't take each other's.
const (
	minPort    = 12000
	portRanges = 440
	rangePorts = 40
)

// nextPort is the number of the next port within the range. Only the goroutine of the case uses it.
var nextPort = 0

// freeAddress returns a loopback address at which nothing listens, another one each time.
func freeAddress() (string, error) {
	for ; nextPort < rangePorts; nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+os.Getpid()%portRanges*rangePorts+nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // another process has it
		}
		nextPort++
		return address, l.Close()
	}
	return "", errors.New("no free port was found")
}
