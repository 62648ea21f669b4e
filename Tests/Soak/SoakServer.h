//===- SoakServer.h - A server that keeps a book ----------------*- C++ -*-===//
//
// Plays a plain server or an engine of the platform, well or badly, and tells
// the book of promises what reached it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "FigliftGateway/StandInStore.h"
#include "PromiseBook.h"

#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace figlift::soak {

/// Part of the path of requests that crash the server that runs them.
inline constexpr std::string_view CrashingPath = "crashing-";

enum class Manner {
  Good,
  /// Runs requests and answers with a failure of its own.
  Fails,
  /// Runs requests and breaks the connection, streams in the middle.
  BreaksOff,
  /// Answers a second later.
  Late,
  /// Answers with the id of another request.
  Garbles,
  /// Turns everything away.
  Full,
  /// Takes requests and says nothing.
  Silent,
  /// Names a limit in its answers, far below what it gets.
  Limited,
};

class SoakServer {
public:
  SoakServer(boost::asio::io_context &Loop, PromiseBook &Book, uint64_t Seed,
             std::string Service, std::string Stage);

  Endpoint address() const { return m_Listener.address(); }
  const std::string &service() const { return m_Service; }
  const std::string &stage() const { return m_Stage; }
  const std::string &id() const { return m_Id; }
  /// Another incarnation at the same address.
  void becomes(std::string Id) {
    m_Id = std::move(Id);
    m_Dark = false;
  }
  void behave(Manner How) {
    m_Manner = How;
    m_Book.limitEnds(m_Id);
  }
  /// Called when a request has crashed the server; it is dark from then on,
  /// until it becomes another start.
  std::function<void()> Crashed;
  /// Called when an order has changed the stage.
  std::function<void()> StageChanged;

private:
  void serve(const proxy::Request &What, const testing::Caller &From);
  void crash(const proxy::Request &Under);
  proxy::ResponseHead successHead(const std::string &AttemptId);
  void run(const proxy::Request &What, const testing::Caller &From);
  void readPrompt(const proxy::Request &What, const testing::Caller &From);
  void takeOrder(const proxy::Request &What, const testing::Caller &From);
  void stream(const testing::Caller &To, const std::string &AttemptId,
              unsigned Next, unsigned Last, std::chrono::milliseconds Gap);
  std::chrono::milliseconds streamTime();
  void after(std::chrono::milliseconds Time, std::function<void()> Then);
  std::chrono::milliseconds draw(unsigned From, unsigned To);
  void note(const proxy::Request &What, bool ReadsPrompt, bool TurnedAway);

  boost::asio::io_context &m_Loop;
  PromiseBook &m_Book;
  std::mt19937_64 m_Random;
  std::string m_Service;
  /// Empty for a plain server.
  std::string m_Stage;
  std::string m_Id;
  Manner m_Manner = Manner::Good;
  uint64_t m_Orders = 0;
  /// It has ended and not come back.
  bool m_Dark = false;
  testing::Listener m_Listener;
};

} // namespace figlift::soak
