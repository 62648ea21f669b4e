//===- OrderDesk.h - Orders to the engine -----------------------*- C++ -*-===//
//
// Takes orders, lets them take their time, and keeps a book of every one that
// arrived, with a mark on those that conflict.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "EngineOptions.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace figlift::standin {

class OrderDesk {
public:
  /// What an order does to the rest of the engine.
  struct Effects {
    /// Breaks the streams of a model, or all streams when it is empty.
    std::function<void(const std::string &Model)> Cut;
    std::function<void(const std::string &Role)> SetRole;
    std::function<void()> Crash;
  };

  OrderDesk(const EngineOptions &Options, Effects Hooks);

  /// HTTP status and answer for POST /v1/orders. Throws on malformed input.
  std::pair<int, Json> submit(const Json &Order);
  /// Back to the state of the start, as a crash does. The book stays.
  void forget();
  void configure(const Json &Settings);
  /// Lets the next order crash the engine: "order" in its middle,
  /// "order-effect" when it has taken effect and is not yet done.
  void crashAt(const std::string &Point);

  bool running();
  /// Whether "name" or "name@version" is loaded.
  bool serves(const std::string &Model);
  /// The members of GET /v1/state that orders change.
  Json state();
  Json book();

private:
  struct Model {
    std::string Version;
    std::set<std::string> Adapters;
  };

  void reset();
  void run();
  bool execute(const Json &Order, std::unique_lock<std::mutex> &Lock);
  bool pause(std::chrono::microseconds Time,
             std::unique_lock<std::mutex> &Lock);
  bool fetchWeights(const Json &Order, std::unique_lock<std::mutex> &Lock);
  void takeEffect(const Json &Order);
  bool crashesAt(const std::string &Point);
  void enter(const Json &Order, bool Accepted, bool Conflicting);

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  EngineOptions m_Options;
  Effects m_Hooks;
  std::string m_Role;
  std::map<std::string, Model> m_Models;
  /// The first one is being executed.
  std::deque<Json> m_Queue;
  std::string m_LastOrder;
  std::string m_LastState = "done";
  uint64_t m_HighestEpoch = 0;
  /// Grows with each crash; an order of an earlier life has no effect.
  uint64_t m_Life = 0;
  std::string m_CrashPoint;
  unsigned m_FailNext = 0;
  Json m_Book = Json::array();
  /// Highest epoch over all lives: what a conflict is judged by.
  uint64_t m_HighestBooked = 0;
};

} // namespace figlift::standin
