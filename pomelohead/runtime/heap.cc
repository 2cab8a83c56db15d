#include "pomelohead/runtime/heap.h"

#include <malloc.h>

namespace pomelohead {
namespace {

// The C library's initial values; setting them turns off their adjustment at run time.
constexpr int mmap_threshold_bytes = 128 * 1024;
constexpr int trim_threshold_bytes = 128 * 1024;

} // namespace

void limit_heap_retention()
{
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

} // namespace pomelohead
