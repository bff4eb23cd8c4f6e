// Package faults holds the tests that bring failures about: a fleet of daemons
// as processes of their own, stand-ins whose steps are held until a test lets
// them go, and the fault matrix. It has no code but tests.
package faults
