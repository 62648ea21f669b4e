//===- OutputWriter.cpp - Standard output that never blocks ---------------===//
//
// Whole lines in writes that a pipe takes as one. A larger write may be taken
// in part; what another process writes into the same pipe then lands in the
// middle of a line, and a reader loses both lines.
//
//===----------------------------------------------------------------------===//

#include "OutputWriter.h"

#include <cerrno>
#include <climits>
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

/// Bytes of the lines that leave in the next write; a line that is longer than
/// an atomic write leaves alone.
size_t OutputWriter::nextWrite() const {
  if (m_Held.size() <= PIPE_BUF)
    return m_Held.size();
  const size_t LastEnd = m_Held.rfind('\n', PIPE_BUF - 1);
  return LastEnd == std::string::npos ? m_Held.find('\n') + 1 : LastEnd + 1;
}

void OutputWriter::flush() {
  while (!m_Held.empty()) {
    const ssize_t Count = write(m_Handle, m_Held.data(), nextWrite());
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
