// The operators' tool for configurations in the product's own form.
#include "tool.hpp"

int main(int argc, char** argv)
{
    return galenarudder::run_tool(argc, argv, nullptr);
}
