"""Runs the demo as a test: publish, serve, publish a second version, drain."""
import demo

TEST_NET = 32

if __name__ == "__main__":
    demo.run(TEST_NET)
