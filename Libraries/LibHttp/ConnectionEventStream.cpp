//===- ConnectionEventStream.cpp - Event stream over a connection ---------===//
//
// See ConnectionEventStream.h.
//
//===----------------------------------------------------------------------===//

#include "LibHttp/ConnectionEventStream.h"

namespace figlift::http {

bool ConnectionEventStream::send(std::string_view Data) {
  std::string Event;
  Event.reserve(Data.size() + 8);
  Event.append("data: ").append(Data).append("\n\n");
  return write(std::move(Event));
}

bool ConnectionEventStream::write(std::string Bytes) {
  return !m_Closed.load() && m_Channel->writeStream(std::move(Bytes));
}

void ConnectionEventStream::close() {
  if (!m_Closed.exchange(true))
    m_Channel->endStream();
}

} // namespace figlift::http
