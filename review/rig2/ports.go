package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports of processes are drawn below those that the kernel gives to connections, which could take one before its process
// listens.
const (
	minPort   = 12000
	maxPort   = 30000
	portDraws = 100
)

// drawnPorts are the ports that were given away. Only the goroutine of the case uses them.
var drawnPorts = map[int]bool{}

// freeAddress returns a loopback address at which nothing listens, another one each time.
func freeAddress() (string, error) {
	for range portDraws {
		port := minPort + rand.IntN(maxPort-minPort)
		if drawnPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // another process has it
		}
		drawnPorts[port] = true
		return address, l.Close()
	}
	return "", errors.New("no free port was found")
}
