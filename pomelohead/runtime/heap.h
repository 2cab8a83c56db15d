// Limits of how much freed memory the process keeps.
//
// Reading a configuration takes several times its size for a moment. By default the C library
// raises its limits after the first large block is freed, and then keeps such peaks on the heap.
//
//     limit_heap_retention();   // once, before the first large allocation
#pragma once

namespace pomelohead {

/// Returns large blocks, and the free end of the heap, to the system when they are freed.
void limit_heap_retention();

} // namespace pomelohead
