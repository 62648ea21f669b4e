//===- RcuReadSection.cpp - Read-side critical sections -------------------===//
//
// Thin wrapper around liburcu's memb flavor.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/RcuReadSection.h"

#include <urcu/urcu-memb.h>

// The thread sanitizer does not understand the ordering that membarrier
// provides and would report each reclaimed object as a data race. These
// annotations make the ordering visible to it.
#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *Address);
extern "C" void __tsan_release(void *Address);
#else
static inline void __tsan_acquire(void *) {}
static inline void __tsan_release(void *) {}
#endif

namespace figlift::config {

namespace {

/// Address that represents the end of read sections for the thread sanitizer.
char SectionsEnded;

struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

} // namespace

RcuReadSection::RcuReadSection() {
  thread_local ThreadRegistration Registration;
  urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection() {
  __tsan_release(&SectionsEnded);
  urcu_memb_read_unlock();
}

void waitForReaders() {
  urcu_memb_synchronize_rcu();
  __tsan_acquire(&SectionsEnded);
}

} // namespace figlift::config
