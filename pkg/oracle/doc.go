// Package oracle recomputes from a deployment's data what the system must have
// answered, and reports every answer that breaks an invariant. It shares no
// code with the query path.
package oracle
