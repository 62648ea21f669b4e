//===- Engine.h - HTTP interface of the engine ------------------*- C++ -*-===//
//
// Routes requests to the scheduler and to the orders, and crashes on command.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "OrderDesk.h"
#include "Scheduler.h"
#include "StandInCommon/Server.h"
#include "StandInCommon/Timer.h"

namespace figlift::standin {

class Engine {
public:
  explicit Engine(const EngineOptions &Options);
  int run() { return m_Server.run(); }

private:
  void handle(const Call &Incoming);
  void complete(const Call &Incoming);
  void cancel(const Call &Incoming, const std::string &RequestId);
  void moveKv(const Call &Incoming, bool Exports);
  void state(const Call &Incoming);
  void control(const Call &Incoming, const std::string &Name);
  void armCrash(const Call &Incoming);
  void crash();
  void forget();

  EngineOptions m_Options;
  Timer m_Timer;
  std::mutex m_Mutex;
  /// Differs in each life, so that a restart shows.
  std::string m_Boot;
  std::chrono::microseconds m_RestartAfter{0};
  Scheduler m_Scheduler;
  OrderDesk m_Orders;
  Server m_Server;
};

} // namespace figlift::standin
