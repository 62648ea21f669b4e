//===- Operators.h - Operators' commands in tests ---------------*- C++ -*-===//
//
// Runs figlift-ctl on records that a test writes, one at a time or many at
// once.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Support/Fleet.h"

#include <future>

namespace figlift::test {

/// What one command ended with.
struct Ran {
  int Code = -1;
  std::string Output;
};

inline std::string workspace(const std::string &Name, unsigned Share,
                             unsigned SchemaVersion = 1) {
  return R"({"schemaVersion": )" + std::to_string(SchemaVersion) +
         R"(, "kind": "workspace", "name": ")" + Name +
         R"(", "spec": {"share": )" + std::to_string(Share) +
         (SchemaVersion == 2 ? R"(, "defaultClass": "immediate")" : "") + "}}";
}

class Operators {
public:
  explicit Operators(Fleet &Of) : m_Fleet(Of) {}

  Ran run(std::vector<std::string> Arguments) {
    auto [Code, Output] = m_Fleet.control(std::move(Arguments));
    return {Code, Output};
  }
  Ran apply(const std::string &Text, std::vector<std::string> More = {}) {
    More.insert(More.begin(), {"apply", "-f", fileOf(Text)});
    return run(std::move(More));
  }
  /// The same, while the test goes on.
  std::future<Ran> applyMeanwhile(const std::string &Text,
                                  std::vector<std::string> More = {}) {
    More.insert(More.begin(), {"apply", "-f", fileOf(Text)});
    return std::async(std::launch::async,
                      [this, More = std::move(More)] { return run(More); });
  }
  /// Version of a record at one entry; 0 when there is none.
  uint64_t version(const std::string &Entry, const std::string &Kind,
                   const std::string &Name) {
    nlohmann::json Found = m_Fleet.getJson(
        m_Fleet.callers(Entry), "/operator/v1/records/" + Kind + "/" + Name);
    return Found.is_object() ? Found.value("version", uint64_t(0)) : 0;
  }
  std::string text(const std::string &Entry, const std::string &Kind,
                   const std::string &Name) {
    nlohmann::json Found = m_Fleet.getJson(
        m_Fleet.callers(Entry), "/operator/v1/records/" + Kind + "/" + Name);
    return Found.is_object() ? Found.value("text", "") : "";
  }
  uint64_t commits() {
    return m_Fleet.getJson(m_Fleet.platform(), "/control/stats")
        .value("commits", uint64_t(0));
  }

private:
  std::string fileOf(const std::string &Text) {
    return m_Fleet.writeFile(
        "submission-" + std::to_string(++m_Files) + ".json", Text);
  }

  Fleet &m_Fleet;
  unsigned m_Files = 0;
};

} // namespace figlift::test
