//===- ServiceQueues.h - The queues of all plain services -------*- C++ -*-===//
//
// Gives each queue its view of the servers, and carries out its decisions. A
// queue is checked when a send to its service ends, when the items of other
// gateways change, and at short intervals while requests wait. Nothing runs
// while none waits.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibDispatch/Configuration.h"
#include "LibDispatch/ServiceQueue.h"
#include "LibMetrics/Registry.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::gateway {

struct Context;

/// A request that may wait in a queue. Each wait ends with one of the calls,
/// unless the owner leaves the queue.
class QueueOwner {
public:
  virtual ~QueueOwner() = default;
  /// To be sent to the server now.
  virtual void queueGranted(const dispatch::QueueSend &Grant) = 0;
  /// Not to be sent at all.
  virtual void queueRefused(const dispatch::QueueRefusal &Refusal) = 0;
  virtual const std::string &queuedRoute() const = 0;
};

class ServiceQueues {
public:
  explicit ServiceQueues(Context &Shared);

  /// Whether requests to the service are sent through the queue at present.
  bool isActive(const std::string &Service, BootTime Now) const;
  /// Whether any queue is active.
  bool isActive(BootTime Now) const;
  /// Adds a request, whose id this sets and returns. Calls the owner before it
  /// returns if the request need not, or cannot, wait. Returns no id if no
  /// server of the service is in service: then there is nothing to wait for.
  uint64_t arrive(const std::string &Service, dispatch::QueuedRequest Request,
                  const std::shared_ptr<QueueOwner> &Owner);
  bool isWaiting(uint64_t Id) const { return m_Owners.contains(Id); }
  /// Returns the number of requests before it.
  size_t leave(uint64_t Id);

  /// \name Outcomes of sends to plain services.
  /// @{
  /// Returns whether the server rejected the request because it was full.
  bool recordRejection(const dispatch::Target &Server, BootTime Now);
  void recordAnswer(const dispatch::Target &Server, dispatch::Milliseconds Took,
                    BootTime Now);
  /// @}

  /// Slots may be free. Checks the queues soon; does nothing if none waits.
  void wake();
  /// \p Sharing: gateways that may be using the servers, including this one.
  /// \p Live: the other gateways whose reports arrive.
  void setFleet(size_t Sharing, std::vector<std::string> Live);
  /// Refuses the requests whose service or route no longer exists.
  void configurationChanged(const dispatch::Configuration &Newer);
  /// SIGTERM: refuses all that wait. Later requests are sent or refused at
  /// once.
  void stop();

  size_t waiting() const { return m_Owners.size(); }
  size_t waitingBytes() const;
  /// Expected time for the answer of a request that leaves the queue.
  dispatch::Milliseconds expectedAnswerTime(const std::string &Service,
                                            BootTime Now);
  /// For the log.
  double freeSlots(const std::string &Service, BootTime Now);
  size_t waitingFor(const std::string &Service) const;

private:
  struct Waiting {
    std::weak_ptr<QueueOwner> Owner;
    std::string Service;
  };

  dispatch::QueueView view(const std::string &Service, BootTime Now);
  void apply(const std::vector<dispatch::QueueAction> &Actions);
  void checkAll();
  void refuseAll(const std::string &Service, std::string_view Reason,
                 std::chrono::milliseconds RetryAfter);
  void armTimer();

  Context &m_Shared;
  boost::asio::steady_timer m_Timer;
  /// By service; only services whose servers have answered or rejected.
  std::map<std::string, dispatch::ServiceQueue> m_Queues;
  /// The requests that wait, by id.
  std::map<uint64_t, Waiting> m_Owners;
  uint64_t m_LastId = 0;
  size_t m_Sharing = 1;
  std::vector<std::string> m_Live;
  bool m_CheckPending = false;
  bool m_TimerRunning = false;
  bool m_Stopping = false;
  metrics::Counter &m_Queued;
  metrics::Counter &m_Sent;
  metrics::Counter &m_Refused;
  metrics::Counter &m_Left;
};

} // namespace figlift::gateway
