//===- LoadCaller.h - Sends the requests of a load run ----------*- C++ -*-===//
//
// Asynchronous HTTP client: no thread blocks on a response, so that thousands
// of streams can be open at the same time.
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
  /// \p Entries holds the "address:port" of each entry, used round-robin. If
  /// \p Direct is set, they are engines, which require a request id from the
  /// caller.
  LoadCaller(const std::vector<std::string> &Entries,
             std::chrono::milliseconds Timeout, bool Direct = false);

  /// Sends one request and adds its outcome to the report. \p Done is called on
  /// a pool thread once the outcome is known.
  void send(const Arrival &Scheduled, const Workload &Settings,
            std::function<void()> Done = {});
  /// Blocks until every sent request has an outcome.
  void waitForAll();
  size_t inFlight() const { return m_InFlight; }
  const Report &report() const { return m_Report; }

private:
  struct Call;

  web::http::http_request makeRequest(const Arrival &Scheduled,
                                      const Workload &Settings);
  void finish(const std::shared_ptr<Call> &Pending);

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
