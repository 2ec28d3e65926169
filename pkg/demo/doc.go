// Package demo implements the demo command: it runs instances and the
// simulated platform in its own process, sends queries through random
// instances, switches a fault on part way and checks every answer.
package demo
