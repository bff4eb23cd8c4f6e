package main

import (
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// playTimeout bounds a case. The longest takes 95 seconds.
const playTimeout = 115 * time.Second

// children are the processes that the rig has started, by process ID, and the folders that it removes at its end. It is safe
// for concurrent use.
type children struct {
	mu        sync.Mutex
	processes map[int]*os.Process
	folders   []string
}

var started = children{processes: map[int]*os.Process{}}

// start starts a program, which is killed if the rig is interrupted.
func (c *children) start(command *exec.Cmd) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	c.processes[command.Process.Pid] = command.Process
	return nil
}

// wait waits until a process has ended. Its exit code doesn't matter.
func (c *children) wait(command *exec.Cmd) {
	_ = command.Wait() // it may have been killed
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.processes, command.Process.Pid)
}

// addFolder adds a folder that is removed if the rig is interrupted.
func (c *children) addFolder(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.folders = append(c.folders, path)
}

// end kills all processes and removes the folders. No process is started afterwards.
func (c *children) end() {
	c.mu.Lock() // for good
	for _, p := range c.processes {
		_ = p.Kill() // it may have ended
	}
	for _, f := range c.folders {
		_ = os.RemoveAll(f)
	}
}

// endOnSignal ends the rig and all that it has started when it is interrupted or takes too long.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(playTimeout):
		}
		started.end()
		os.Exit(failed)
	}()
}
