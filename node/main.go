// Command node is a placeholder until its parts land.
package main

func main() {}
