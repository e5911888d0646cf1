// Command chivecroft serves rarely used models.
package main

func main() {}
