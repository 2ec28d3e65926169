// Package examples holds bundles and settings of two deployments, office and
// agenda-serena, and the test that keeps them valid.
package examples
