// Command sycamorelift is the command-line tool for operators and developers.
package main

func main() {}
