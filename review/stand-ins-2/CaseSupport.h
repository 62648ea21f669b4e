//===- CaseSupport.h - Record and configuration of a case -------*- C++ -*-===//
//
// What all cases need: lines with times, and the operator's configuration of
// plain services.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Network.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

/// Lines in a file, each with the seconds since the start.
class Recorder {
public:
  explicit Recorder(const std::string &File) : m_File(File) {}
  void line(const std::string &Text) {
    const std::lock_guard Lock(m_Mutex);
    m_File << at(Clock::now()) << " " << Text << std::endl;
  }
  std::string at(Time Moment) const {
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%.3f",
                  std::chrono::duration<double>(Moment - m_Started).count());
    return Text;
  }

private:
  const Time m_Started = Clock::now();
  std::mutex m_Mutex;
  std::ofstream m_File;
};

/// A configuration with one safe route, "/NAME/", to each plain service.
inline std::string
configurationOf(const std::vector<std::string> &ServiceNames) {
  nlohmann::json Routes = nlohmann::json::array();
  nlohmann::json Services = nlohmann::json::array();
  for (const std::string &Name : ServiceNames) {
    Routes.push_back({{"name", "r-" + Name},
                      {"host", "desk.example"},
                      {"prefix", "/" + Name + "/"},
                      {"kind", "safe"},
                      {"timeoutMs", 1500},
                      {"targetLatencyMs", 150},
                      {"priority", 2},
                      {"service", Name},
                      {"maxAttempts", 2}});
    Services.push_back({{"name", Name},
                        {"healthPath", "/health"},
                        {"maxConnections", 120},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return nlohmann::json{{"version", 7},
                        {"routes", Routes},
                        {"services", Services},
                        {"limits",
                         {{"maxHeaderBytes", 16384},
                          {"maxBodyBytes", 4194304},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000}}}}
      .dump();
}

/// Calls \p Run with the program of the gateway, the file for the record, and
/// whether there is a disruption. Exit status 2 if it cannot run.
template <typename Function>
int runCase(int Count, char **Arguments, Function Run) {
  try {
    if (Count != 4)
      return 2;
    return Run(Arguments[1], Arguments[2], std::string(Arguments[3]) != "0");
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 2;
  }
}

} // namespace review
