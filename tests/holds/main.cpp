#include <cstdlib>
#include <iostream>
#include <string>

#include <cppunit/Test.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

namespace {

/// Returns the full name of the case whose name ends with "::" and `name`, or "".
std::string find_case(const CppUnit::Test& test, const std::string& name)
{
    if (test.getName().ends_with("::" + name))
        return test.getName();
    for (int i = 0; i < test.getChildTestCount(); ++i) {
        std::string found = find_case(*test.getChildTestAt(i), name);
        if (!found.empty())
            return found;
    }
    return {};
}

} // namespace

/// Runs the case that the first argument names.
int main(int argc, char** argv)
{
    CppUnit::Test* const all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    const std::string name = argc > 1 ? find_case(*all, argv[1]) : "";
    if (name.empty()) {
        std::cerr << "name one case, for example whole_answer\n";
        return EXIT_FAILURE;
    }
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(all);
    return runner.run(name) ? EXIT_SUCCESS : EXIT_FAILURE;
}
