//===- TokenStream.h - Streamed answer of one completion --------*- C++ -*-===//
//
// Server-sent events written by the scheduler; no thread waits for a stream.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "StandInCommon/Server.h"

#include <cpprest/producerconsumerstream.h>

#include <functional>
#include <mutex>
#include <string>

namespace figlift::standin {

class TokenStream {
public:
  /// Starts the answer to \p Request; \p Gone runs when the caller has gone.
  void start(const web::http::http_request &Request,
             std::function<void()> Gone);
  void write(const std::string &Text);
  /// Ends the answer in good order.
  void end();
  /// Breaks the connection in the middle of the answer.
  void tear();

private:
  void close(const std::exception_ptr &Reason);

  std::mutex m_Mutex;
  bool m_Closed = false;
  concurrency::streams::producer_consumer_buffer<uint8_t> m_Buffer;
};

} // namespace figlift::standin
