"""The whole path with real processes: publish, serve, second version, drain."""
import demo

TEST_NET = 32

if __name__ == "__main__":
    demo.run(TEST_NET)
