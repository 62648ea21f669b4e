//===- Tables.cpp - Answers as text for people ----------------------------===//
//
// One function for each kind of answer.
//
//===----------------------------------------------------------------------===//

#include "Tables.h"

#include <algorithm>

namespace figlift::control {

using Row = std::vector<std::string>;

/// The value as a cell: texts without quotes.
static std::string cell(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || Found->is_null())
    return "-";
  if (Found->is_string())
    return Found->get<std::string>();
  return Found->dump();
}

static Row cells(const Json &Object, const std::vector<const char *> &Names) {
  Row Cells;
  for (const char *Name : Names)
    Cells.push_back(cell(Object, Name));
  return Cells;
}

static Json listIn(const Json &Answer, const char *Name) {
  return Answer.value(Name, Json::array());
}

std::string aligned(const std::vector<Row> &Rows) {
  std::vector<size_t> Widths;
  for (const Row &Each : Rows) {
    Widths.resize(std::max(Widths.size(), Each.size()));
    for (size_t Column = 0; Column < Each.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Each[Column].size());
  }
  std::string Text;
  for (const Row &Each : Rows) {
    std::string Line;
    for (size_t Column = 0; Column < Each.size(); ++Column) {
      Line += Each[Column];
      Line.append(Widths[Column] - Each[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + '\n';
  }
  return Text;
}

std::string recordTable(const Json &Answer) {
  std::vector<Row> Rows = {
      {"KIND", "NAME", "VERSION", "REVISION", "SCHEMA", "UNREADABLE"}};
  for (const Json &Each : listIn(Answer, "records"))
    Rows.push_back(cells(Each, {"kind", "name", "version", "revision",
                                "schemaVersion", "unreadable"}));
  return "revision " + cell(Answer, "revision") + "\n" + aligned(Rows);
}

std::string outcomeTable(const Json &Answer) {
  std::vector<Row> Rows = {{"KIND", "NAME", "VERSION"}};
  for (const Json &Each : listIn(Answer, "records"))
    Rows.push_back(cells(Each, {"kind", "name", "version"}));
  return "committed as revision " + cell(Answer, "revision") + "\n" +
         aligned(Rows);
}

std::string statusTable(const Json &Answer) {
  std::string Text = "entry " + cell(Answer, "entry") + ", revision " +
                     cell(Answer, "revision");
  if (!Answer.value("serving", true))
    Text += ", takes no new work: " + cell(Answer, "reason");
  std::vector<Row> Targets = {{"TARGET", "BACK END", "ZONE", "STATE", "ROLE",
                               "REVISION", "REQUESTS", "WAITING TOKENS"}};
  for (const Json &Each : listIn(Answer, "targets")) {
    Row Cells = cells(Each, {"id", "backEnd", "zone", "state", "role",
                             "revisionInForce", "requestsInFlight"});
    Cells.push_back(
        cell(Each.value("load", Json::object()), "prefillTokensWaiting"));
    Targets.push_back(std::move(Cells));
  }
  Text += "\n" + aligned(Targets);
  std::vector<Row> Entries = {{"ENTRY", "STATE", "REVISION"}};
  for (const Json &Each : listIn(Answer, "entries"))
    Entries.push_back(cells(Each, {"id", "state", "revisionInForce"}));
  return Entries.size() > 1 ? Text + aligned(Entries) : Text;
}

std::vector<std::string> statusLines(const Json &Answer) {
  std::vector<std::string> Lines = {"entry " + cell(Answer, "entry") +
                                    " revision " + cell(Answer, "revision") +
                                    " serving " + cell(Answer, "serving")};
  for (const Json &Each : listIn(Answer, "targets"))
    Lines.push_back("target " + cell(Each, "id") + " " + cell(Each, "state") +
                    " role " + cell(Each, "role") + " revision " +
                    cell(Each, "revisionInForce"));
  return Lines;
}

std::string explanation(const Json &Answer) {
  std::string Text;
  if (auto Target = Answer.find("target"); Target != Answer.end())
    Text += "target " + cell(*Target, "id") + ": " + cell(*Target, "state") +
            ", role " + cell(*Target, "role") + ", revision " +
            cell(*Target, "revisionInForce") + "\n";
  if (auto Record = Answer.find("record"); Record != Answer.end())
    Text += "record version " + cell(*Record, "version") + ", revision " +
            cell(*Record, "revision") + ":\n" + cell(*Record, "text") + "\n";
  for (const Json &Event : listIn(Answer, "events"))
    Text +=
        (Event.is_string() ? Event.get<std::string>() : Event.dump()) + "\n";
  return Text.empty() ? "nothing is known of " + cell(Answer, "id") + "\n"
                      : Text;
}

} // namespace figlift::control
