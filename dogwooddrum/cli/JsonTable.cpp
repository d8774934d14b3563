#include "dogwooddrum/cli/JsonTable.h"

#include "dogwooddrum/cli/Command.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <iostream>

namespace dogwooddrum::cli {

namespace {

using json = nlohmann::ordered_json;

std::string
CellText(const json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (!aValue.is_array()) {
    return aValue.dump();
  }
  std::string text;
  for (const json& item : aValue) {
    text += (text.empty() ? "" : " ") + CellText(item);
  }
  return text;
}

bool
IsArrayOfObjects(const json& aValue)
{
  return aValue.is_array() && !aValue.empty() &&
         std::all_of(aValue.begin(), aValue.end(), [](const json& aItem) {
           return aItem.is_object();
         });
}

std::string
ToUpper(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::toupper(aChar));
    });
  return aText;
}

void
PrintArrayTable(const std::string& aName, const json& aRows)
{
  std::vector<std::string> columns;
  for (const json& row : aRows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  std::vector<std::vector<std::string>> table(1);
  for (const std::string& column : columns) {
    table[0].push_back(ToUpper(column));
  }
  for (const json& row : aRows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      cells.push_back(row.contains(column) ? CellText(row[column]) : "");
    }
    table.push_back(cells);
  }
  std::cout << '\n' << aName << '\n';
  PrintTable(table);
}

/** Adds all members except arrays of objects to aTable. Members of nested
 * objects are named OUTER.INNER. */
void
AddFlattenedMembers(const std::string& aPrefix,
                    const json& aObject,
                    std::vector<std::vector<std::string>>& aTable)
{
  for (const auto& [name, value] : aObject.items()) {
    if (value.is_object()) {
      AddFlattenedMembers(aPrefix + name + ".", value, aTable);
    } else if (!IsArrayOfObjects(value)) {
      aTable.push_back({ aPrefix + name, CellText(value) });
    }
  }
}

} // namespace

void
PrintReport(const std::string& aBody, bool aJson)
{
  const auto body = json::parse(aBody, nullptr, false);
  if (aJson || !body.is_object()) {
    std::cout << aBody << '\n';
    return;
  }
  std::vector<std::vector<std::string>> members;
  AddFlattenedMembers("", body, members);
  PrintTable(members);
  for (const auto& [name, value] : body.items()) {
    if (IsArrayOfObjects(value)) {
      PrintArrayTable(name, value);
    }
  }
}

} // namespace dogwooddrum::cli
