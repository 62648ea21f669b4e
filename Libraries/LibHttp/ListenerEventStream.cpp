//===- ListenerEventStream.cpp - Events over a cpprestsdk buffer ----------===//
//
// See ListenerEventStream.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/ListenerEventStream.h"

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
  // Copies the bytes and completes at once for this kind of buffer.
  m_Buffer.putn_nocopy(reinterpret_cast<const uint8_t *>(Bytes.data()),
                       Bytes.size());
  m_Buffer.sync();
  return true;
}

void ListenerEventStream::close() {
  if (!m_Closed.exchange(true))
    m_Buffer.close(std::ios_base::out);
}

} // namespace figlift::http
