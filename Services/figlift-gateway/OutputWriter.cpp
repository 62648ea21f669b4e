//===- OutputWriter.cpp - Non-blocking standard output --------------------===//
//
// Writes whole lines in chunks that a pipe accepts atomically. A larger write
// may be accepted in part; the output of another process on the same pipe then
// splits a line, and both lines become unreadable.
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
  if (m_Buffer.size() + Text.size() + 1 > MaximumBufferedBytes) {
    ++m_Dropped;
    return;
  }
  m_Buffer += Text;
  m_Buffer += '\n';
}

/// Size of the whole lines in the next write. A line that exceeds the size of
/// an atomic write is written on its own.
size_t OutputWriter::nextWrite() const {
  if (m_Buffer.size() <= PIPE_BUF)
    return m_Buffer.size();
  const size_t LastEnd = m_Buffer.rfind('\n', PIPE_BUF - 1);
  return LastEnd == std::string::npos ? m_Buffer.find('\n') + 1 : LastEnd + 1;
}

void OutputWriter::flush() {
  while (!m_Buffer.empty()) {
    const ssize_t Count = write(m_Handle, m_Buffer.data(), nextWrite());
    if (Count > 0) {
      m_Buffer.erase(0, static_cast<size_t>(Count));
      continue;
    }
    // If the pipe is full, the next tick tries again. If it is closed, lines
    // are dropped and counted once the buffer is full.
    if (Count < 0 && errno == EINTR)
      continue;
    return;
  }
}

} // namespace figlift::gateway
