//===- ConnectionEventStream.h - Event stream over a connection -*- C++ -*-===//
//
// Internal to this library.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibHttp/EventStream.h"
#include "LibHttp/ResponseChannel.h"

#include <atomic>
#include <memory>

namespace figlift::http {

class ConnectionEventStream final : public EventStream {
public:
  explicit ConnectionEventStream(std::shared_ptr<ResponseChannel> Channel)
      : m_Channel(std::move(Channel)) {}
  ~ConnectionEventStream() override { close(); }

  bool send(std::string_view Data) override;
  bool comment() override { return write(": \n\n"); }
  void close() override;
  size_t queuedBytes() const override { return m_Channel->queuedBytes(); }

private:
  bool write(std::string Bytes);

  const std::shared_ptr<ResponseChannel> m_Channel;
  std::atomic<bool> m_Closed{false};
};

} // namespace figlift::http
