// Command heatherrouter is not built yet.
package main

func main() {}
