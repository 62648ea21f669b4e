//===- LoadCaller.h - Sends the requests of a load run ----------*- C++ -*-===//
//
// Asynchronous HTTP caller: no thread waits for an answer, so that thousands
// of streams can be open at once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Ids.h"
#include "LibLoad/Report.h"
#include "LibLoad/Schedule.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace figlift::load {

class LoadCaller {
public:
  /// \p Entries: "address:port" of each entry; they are used in turn.
  /// \p Direct: they are engines, which want a request id from their caller.
  LoadCaller(const std::vector<std::string> &Entries,
             std::chrono::milliseconds Timeout, bool Direct = false);

  /// Sends one request; its outcome goes into the report. \p Done runs on a
  /// pool thread once the outcome is known.
  void send(const Arrival &Which, const Workload &What,
            std::function<void()> Done = {});
  /// Waits until every request sent has an outcome.
  void waitForAll();
  size_t inFlight() const { return m_InFlight; }
  const Report &report() const { return m_Report; }

private:
  struct Call;

  web::http::http_request makeRequest(const Arrival &Which,
                                      const Workload &What);
  void finish(const std::shared_ptr<Call> &Ended);

  const bool m_Direct;
  std::vector<std::unique_ptr<web::http::client::http_client>> m_Clients;
  std::atomic<size_t> m_Next{0};
  std::atomic<size_t> m_InFlight{0};
  UuidGenerator m_Keys;
  std::mutex m_Mutex;
  std::condition_variable m_AllDone;
  /// Guarded by m_Mutex until waitForAll() has returned.
  Report m_Report;
};

} // namespace figlift::load
