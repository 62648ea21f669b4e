//===- ListenerEventStream.h - Events over a cpprestsdk buffer --*- C++ -*-===//
//
// Internal to this library.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibHttp/EventStream.h"

#include <cpprest/producerconsumerstream.h>
#include <cpprest/streams.h>

#include <atomic>
#include <cstdint>

namespace figlift::http {

class ListenerEventStream final : public EventStream {
public:
  explicit ListenerEventStream(size_t MaximumQueuedBytes)
      : m_MaximumQueuedBytes(MaximumQueuedBytes) {}
  ~ListenerEventStream() override { close(); }

  bool send(std::string_view Data) override;
  bool comment() override { return write(": \n\n"); }
  void close() override;
  size_t queuedBytes() const override { return m_Buffer.in_avail(); }

  /// Where cpprestsdk reads the answer's body.
  concurrency::streams::istream source() { return m_Buffer.create_istream(); }
  /// The caller's connection failed; later writes return false.
  void markGone() { m_Gone.store(true); }

private:
  bool write(const std::string &Bytes);

  const size_t m_MaximumQueuedBytes;
  concurrency::streams::producer_consumer_buffer<uint8_t> m_Buffer;
  std::atomic<bool> m_Gone{false};
  std::atomic<bool> m_Closed{false};
};

} // namespace figlift::http
