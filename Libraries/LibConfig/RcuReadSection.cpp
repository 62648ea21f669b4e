//===- RcuReadSection.cpp - Read-side critical sections -------------------===//
//
// Thin cover of liburcu's memb flavour.
//
//===----------------------------------------------------------------------===//

#include "LibConfig/RcuReadSection.h"

#include <urcu/urcu-memb.h>

namespace figlift::config {

namespace {

struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

} // namespace

RcuReadSection::RcuReadSection() {
  thread_local ThreadRegistration Registration;
  urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection() { urcu_memb_read_unlock(); }

} // namespace figlift::config
