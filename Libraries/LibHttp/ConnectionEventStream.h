//===- ConnectionEventStream.h - Events over a connection -------*- C++ -*-===//
//
// Internal to this library.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibHttp/CallerLink.h"
#include "LibHttp/EventStream.h"

#include <atomic>
#include <memory>

namespace figlift::http {

class ConnectionEventStream final : public EventStream {
public:
  explicit ConnectionEventStream(std::shared_ptr<CallerLink> Caller)
      : m_Caller(std::move(Caller)) {}
  ~ConnectionEventStream() override { close(); }

  bool send(std::string_view Data) override;
  bool comment() override { return write(": \n\n"); }
  void close() override;
  size_t queuedBytes() const override { return m_Caller->queuedBytes(); }

private:
  bool write(std::string Bytes);

  const std::shared_ptr<CallerLink> m_Caller;
  std::atomic<bool> m_Closed{false};
};

} // namespace figlift::http
