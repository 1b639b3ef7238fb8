// Command heatherrouterd is not built yet.
package main

func main() {}
