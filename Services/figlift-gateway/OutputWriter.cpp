//===- OutputWriter.cpp - Standard output that never blocks ---------------===//
//
// One write for the lines of a tick.
//
//===----------------------------------------------------------------------===//

#include "OutputWriter.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace figlift::gateway {

OutputWriter::OutputWriter(int Handle) : m_Handle(Handle) {
  const int Flags = fcntl(Handle, F_GETFL, 0);
  if (Flags >= 0)
    fcntl(Handle, F_SETFL, Flags | O_NONBLOCK);
}

void OutputWriter::line(std::string_view Text) {
  if (m_Held.size() + Text.size() + 1 > MaximumHeld) {
    ++m_Dropped;
    return;
  }
  m_Held += Text;
  m_Held += '\n';
}

void OutputWriter::flush() {
  while (!m_Held.empty()) {
    const ssize_t Count = write(m_Handle, m_Held.data(), m_Held.size());
    if (Count > 0) {
      m_Held.erase(0, static_cast<size_t>(Count));
      continue;
    }
    // Full: the next tick tries again. Closed for good: nobody reads, and the
    // bound on what is held counts the lines that are lost.
    if (Count < 0 && errno == EINTR)
      continue;
    return;
  }
}

} // namespace figlift::gateway
