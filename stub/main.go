// Command stub is a placeholder until its parts land.
package main

func main() {}
