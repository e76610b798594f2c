// A table of measured points and the straight lines through them.

#ifndef AZUREPASS_TESTING_SYSTEM_MEASURE_TABLE_H_
#define AZUREPASS_TESTING_SYSTEM_MEASURE_TABLE_H_

#include <string>
#include <vector>

namespace azurepass::testing {

struct MeasureTable {
  std::string title;
  std::vector<std::string> columns;  // The first is what was varied.
  std::vector<std::vector<double>> rows;
};

// y = at_zero + slope * x, by least squares.
struct Line {
  double at_zero = 0;
  double slope = 0;
  double explained = 0;  // R squared; 1 for a perfect fit.
};

Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

// As Markdown: the points, then a line of fit for each further column.
void PrintTable(const MeasureTable& table);

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_MEASURE_TABLE_H_
