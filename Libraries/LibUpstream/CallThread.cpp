//===- CallThread.cpp - Thread of an HttpClient's calls -------------------===//
//
// See CallThread.h.
//
//===----------------------------------------------------------------------===//

#include "LibUpstream/CallThread.h"

#include "LibLog/Guard.h"

namespace figlift::upstream {

CallThread::CallThread(size_t MaximumHeldBytes)
    : m_Memory(MaximumHeldBytes), m_Thread([this] { run(); }) {}

CallThread::~CallThread() {
  m_Loop.stop();
  m_Thread.join();
}

void CallThread::run() {
  while (!m_Loop.stopped())
    log::guarded("call", {}, [this] { m_Loop.run(); });
}

} // namespace figlift::upstream
