// Package quarantine tells requests that crash the upstreams that run them from those that only ran
// beside one, and from upstreams that crash for causes of their own.
package quarantine
