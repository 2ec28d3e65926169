// Command sycamoreliftd is the daemon that runs on every instance.
package main

func main() {}
