//===- SoakCaller.h - A caller that never stops -----------------*- C++ -*-===//
//
// Sends one request after another through any gateway, keeps connections open
// for as long as the gateway does, leaves some answers early, and tells the
// book of promises what it sent and got. Every second caller goes on sending on
// its connection, at once, though the gateway said that it closes it.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "LibCore/Endpoint.h"
#include "LibProxy/ResponseParser.h"
#include "PromiseBook.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <random>
#include <string>
#include <vector>

namespace figlift::soak {

/// A gateway as callers reach it.
struct Door {
  std::string Gateway;
  Endpoint Address;
};

/// Whether a caller sends requests that crash servers.
enum class CrashingRequests { None, Some };

class SoakCaller {
public:
  SoakCaller(boost::asio::io_context &Loop, PromiseBook &Book, uint64_t Seed,
             std::string Name, std::vector<Door> Doors, unsigned PromptTokens,
             CrashingRequests MayCrash);
  void start() { pause(); }
  void stop() { m_Stopped = true; }
  bool idle() const { return m_Idle; }

private:
  struct Choice {
    std::string Path;
    std::string Service;
    Repeatable Kind = Repeatable::Yes;
    bool Streams = false;
    unsigned ShortestDeadlineMs = 2000;
    unsigned LongestDeadlineMs = 2000;
  };

  void pause();
  void next();
  void connect();
  void send();
  void read();
  void received(size_t Count);
  void done(unsigned Status);
  void drop();
  void leaveAfter(std::chrono::milliseconds Time);
  std::string requestText();
  unsigned draw(unsigned From, unsigned To);

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Pause;
  boost::asio::steady_timer m_Patience;
  PromiseBook &m_Book;
  std::mt19937_64 m_Random;
  const std::string m_Name;
  const std::vector<Door> m_Doors;
  /// Shared part of each prompt: what it is decides whether reading or running
  /// keeps the engines busy, and so what orders they are given.
  const unsigned m_PromptTokens;
  const bool m_IgnoresClose;
  const bool m_MayCrash;
  size_t m_Door = 0;
  proxy::ResponseParser m_Parser;
  std::array<char, 8192> m_Buffer;
  std::string m_Body;
  std::string m_AttemptId;
  unsigned m_Events = 0;
  /// The gateway said that it closes the connection.
  bool m_Closing = false;
  uint64_t m_Count = 0;
  /// Answers of an earlier request end nothing of a later one.
  uint64_t m_Exchange = 0;
  bool m_Connected = false;
  bool m_Idle = true;
  bool m_Stopped = false;
};

} // namespace figlift::soak
