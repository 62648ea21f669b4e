//===- ListenerEventStream.cpp - Events over a cpprestsdk buffer ----------===//
//
// See ListenerEventStream.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/ListenerEventStream.h"

#include <exception>

namespace figlift::http {

bool ListenerEventStream::send(std::string_view Data) {
  std::string Event;
  Event.reserve(Data.size() + 8);
  Event.append("data: ").append(Data).append("\n\n");
  return write(Event);
}

bool ListenerEventStream::write(const std::string &Bytes) {
  if (m_Gone.load() || m_Closed.load())
    return false;
  // The buffer takes bytes without a bound: a caller who stops reading while
  // keeping the connection open would let it grow to the whole answer.
  if (queuedBytes() > m_MaximumQueuedBytes) {
    m_Gone.store(true);
    return false;
  }
  try {
    // Copies the bytes and has completed on return for this kind of buffer.
    // The result is taken because cpprestsdk ends the process for an error
    // that nobody looked at, which a write after close() would leave.
    m_Buffer
        .putn_nocopy(reinterpret_cast<const uint8_t *>(Bytes.data()),
                     Bytes.size())
        .get();
    m_Buffer.sync().get();
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

void ListenerEventStream::close() {
  if (!m_Closed.exchange(true))
    m_Buffer.close(std::ios_base::out).get();
}

} // namespace figlift::http
