// Command heatherfakes is not built yet.
package main

func main() {}
