//===- Record.h - What was sent, answered and run ---------------*- C++ -*-===//
//
// Shared by clients and servers. Written to a file as it comes, and kept to be
// judged at the end.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Http.h"

#include <fstream>
#include <map>
#include <mutex>

namespace review {

class Record {
public:
  struct Attempt {
    /// 0 while there is no answer.
    unsigned Status = 0;
    std::vector<std::string> Runs;
  };

  explicit Record(const std::string &File) : m_File(File) {}

  void note(const std::string &Text) {
    const std::scoped_lock Lock(m_Mutex);
    write(Text);
  }
  void sent(const std::string &Id, const std::string &What) {
    const std::scoped_lock Lock(m_Mutex);
    m_Attempts[Id];
    write("sent " + Id + " " + What);
  }
  /// \p Status is 0 for a request that ended without an answer.
  void answered(const std::string &Id, unsigned Status) {
    const std::scoped_lock Lock(m_Mutex);
    m_Attempts[Id].Status = Status;
    write("answered " + Id + " " + std::to_string(Status));
  }
  void run(const std::string &Id, const std::string &Server) {
    const std::scoped_lock Lock(m_Mutex);
    m_Attempts[Id].Runs.push_back(Server);
    write("run " + Id + " at " + Server);
  }
  std::map<std::string, Attempt> attempts() {
    const std::scoped_lock Lock(m_Mutex);
    return m_Attempts;
  }

private:
  void write(const std::string &Text) {
    const auto Since = std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now() - m_Start);
    m_File << Since.count() / 1000 << "." << Since.count() % 1000 / 100
           << " ms " << Text << std::endl;
  }

  std::mutex m_Mutex;
  std::ofstream m_File;
  std::map<std::string, Attempt> m_Attempts;
  const Clock::time_point m_Start = Clock::now();
};

} // namespace review
